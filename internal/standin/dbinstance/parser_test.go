package dbinstance

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	cases := []struct {
		text string
		want []Statement
	}{
		{" ;; -- nothing\n/* at all */", nil},
		{`SELECT "K", 'it''s' FROM public.t`, []Statement{&selectStatement{
			table: "t",
			items: []selectItem{{value: &columnRef{"K"}}, {value: &literal{textValue("it's")}}},
		}}},
		{"UPDATE t SET v=v-$1 WHERE k<>-2;COMMIT WORK", []Statement{&updateStatement{
			table: "t",
			set:   []assignment{{"v", &binaryOp{"-", &columnRef{"v"}, &parameter{1}}}},
			where: []condition{{"k", "<>", []expr{&binaryOp{"-", &literal{intValue(0)}, &literal{intValue(2)}}}}},
		}, &commitStatement{}}},
		{"SELECT * FROM instance_wait(1, 2, 3)", []Statement{&callStatement{
			"instance_wait", []expr{&literal{intValue(1)}, &literal{intValue(2)}, &literal{intValue(3)}},
		}}},
		{"COPY t FROM STDIN (FORMAT csv); SAVEPOINT a", []Statement{
			&unsupportedStatement{"copy"}, &unsupportedStatement{"savepoint"},
		}},
	}
	options := cmp.AllowUnexported(selectStatement{}, selectItem{}, literal{}, columnRef{}, updateStatement{},
		assignment{}, binaryOp{}, parameter{}, condition{}, commitStatement{}, callStatement{}, unsupportedStatement{})
	for _, c := range cases {
		got, err := parseSQL(c.text)
		if err != nil {
			t.Errorf("%s: %v", c.text, err)
		}
		if diff := cmp.Diff(c.want, got, options); diff != "" {
			t.Errorf("%s: %s", c.text, diff)
		}
	}
}

// TestParseAnyTokens checks that no sequence of tokens makes the parser panic, and that
// describing and executing the parsed statements does not panic.
func TestParseAnyTokens(t *testing.T) {
	words := strings.Fields(`select insert into update delete create table drop if not exists primary key null
		values on conflict do nothing returning set where and in from order by desc limit for update as begin
		read only commit rollback to show reset discard all deallocate transaction isolation level t k v bigint
		text 1 2.5 'x' $1 $9 count sum pg_sleep ( ) ( ) , , * = < >= + - || :: ; . true instance_status`)
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.SampledFrom(words), 1, 12).Draw(t, "words")
		statements, err := parseSQL(strings.Join(list, " "))
		if err != nil {
			return
		}
		s := NewStore(StoreConfig{ID: "a", InitialPrimary: true})
		tx := s.Begin(false)
		mustExecute(tx, "CREATE TABLE t (k text PRIMARY KEY, v bigint); INSERT INTO t VALUES ('x', 1)")
		for _, stmt := range statements {
			params, _, err := tx.Describe(stmt, nil)
			if err == nil {
				_, _ = tx.Execute(t.Context(), stmt, make([]Value, len(params)), params)
			}
		}
	})
}
