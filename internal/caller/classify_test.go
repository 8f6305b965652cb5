package caller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestClassify(t *testing.T) {
	cases := []struct {
		sql  string
		want statementClass
	}{
		{"SELECT 1", statementClass{read: true}},
		{"  -- note\n /* a /* nested */ b */ select 1", statementClass{read: true}},
		{"select * from t for update", statementClass{}},
		{"INSERT INTO t VALUES (1)", statementClass{}},
		{"with x as (select 1) select * from x", statementClass{read: true}},
		{"with x as (delete from t returning *) select * from x", statementClass{}},
		{"BEGIN", statementClass{begin: true}},
		{"begin transaction read only", statementClass{begin: true, readOnlyBegin: true, read: true}},
		{"COMMIT", statementClass{end: true}},
		{"ROLLBACK", statementClass{end: true, rollback: true}},
		{"ROLLBACK TO SAVEPOINT a", statementClass{}},
		{"SET chicoryline.session = 'x'", statementClass{local: localSetSession}},
		{"SET application_name = 'x'", statementClass{local: localSetIgnored}},
		{"SET LOCAL work_mem = 1", statementClass{}},
		{"SHOW chicoryline.session", statementClass{local: localShowSession}},
		{"DISCARD ALL", statementClass{local: localDiscard}},
		{"VACUUM t", statementClass{changesSessionState: true}},
	}
	for _, c := range cases {
		t.Run(c.sql, func(t *testing.T) {
			if diff := cmp.Diff(c.want, classify(c.sql), cmp.AllowUnexported(statementClass{})); diff != "" {
				t.Fatal(diff)
			}
		})
	}
	for _, sql := range []string{"COPY t FROM stdin", "LISTEN x", "PREPARE a AS SELECT 1", "SET search_path = x", "CREATE TEMP TABLE t (a int)", "SELECT * FROM instance_fence(9)", "SELECT set_config('a','b',false)"} {
		if classify(sql).rejectReason == "" {
			t.Errorf("%s was not rejected", sql)
		}
	}
}

func TestSplitStatements(t *testing.T) {
	sql := `SELECT ';' ; INSERT INTO "a;b" VALUES (E'\';') -- ; no
; /* ; */ SELECT $x$ ; $x$;;`
	got := len(splitStatements(sql))
	if got != 3 {
		t.Fatalf("%d statements, want 3: %q", got, splitStatements(sql))
	}
}

// Guards against statements that a server finds in a query and the proxy takes for a comment or a quoted
// text, or the other way round.
func TestStatementsEndWhereServersEndThem(t *testing.T) {
	for sql, want := range map[string]int{
		"SELECT 1 -- x\r; PREPARE p AS SELECT 1":         2,
		"-- x\rCOMMIT":                                   1,
		"SELECT date'\\'; PREPARE p AS SELECT 1; --'":    2,
		`SELECT e"\"; PREPARE p AS SELECT 1; --"`:        2,
		"SELECT x$a$; PREPARE p AS SELECT 1; --$a$":      2,
		"SELECT é$a$; PREPARE p AS SELECT 1; --$a$":      2,
		"SELECT $1$; PREPARE p AS SELECT 1; --$1$":       2,
		"SELECT $é$ ; COMMIT; $é$":                       1,
		`SELECT E'it''s \'; COMMIT; '`:                   1,
		"SELECT e'a'\n'\\''; PREPARE p AS SELECT 1; --'": 2,
		"SELECT E'a' -- x\n'\\'; COMMIT; '":              1,
		`SELECT E'a' '\'; COMMIT; --'`:                   2,
		`SELECT 'a''; b' "c""; d"`:                       1,
	} {
		list := splitStatements(sql)
		if len(list) != want {
			t.Errorf("%q: %d statements, want %d: %q", sql, len(list), want, list)
		}
	}
	for _, sql := range []string{"-- x\rCOMMIT", "\vCOMMIT"} {
		if c := classify(sql); !c.end {
			t.Errorf("%q: %+v", sql, c)
		}
	}
	for _, sql := range []string{"-- x\rPREPARE p AS SELECT 1", "/* x */ -- y\r\nLISTEN x"} {
		if classify(sql).rejectReason == "" {
			t.Errorf("%q was not rejected", sql)
		}
	}
}

func TestSplitSet(t *testing.T) {
	for _, sql := range []string{"SET chicoryline.session = 'tok'", "set chicoryline.session to 'tok';", "SET chicoryline.session='tok'"} {
		name, value, ok := splitSet(sql)
		if !ok || name != sessionParameter || value != "tok" {
			t.Errorf("%s: %q %q %v", sql, name, value, ok)
		}
	}
}

func FuzzClassify(f *testing.F) {
	f.Add("SELECT 1; -- x")
	f.Add("/* a")
	f.Add("SET $$")
	f.Fuzz(func(_ *testing.T, sql string) {
		for _, s := range splitStatements(sql) {
			classify(s)
		}
		splitSet("SET " + sql)
	})
}
