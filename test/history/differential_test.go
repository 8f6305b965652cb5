package history

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"pgregory.net/rapid"

	"chicoryline/internal/load"
	"chicoryline/internal/site"
)

const (
	// differentialSeed is the random seed of the sequential histories.
	differentialSeed = 20420
	// differentialChecks is the number of random histories.
	differentialChecks = 40
	// minSteps and maxSteps bound the number of statements in a history.
	minSteps, maxSteps = 20, 50
	// keyRange is the number of distinct keys, small enough that statements conflict.
	keyRange = 5
)

// proxySession runs statements as one session that reconnects through different proxies
// and carries its session token along.
type proxySession struct {
	site  *site.Site
	conn  *pgx.Conn
	token string
	// answered counts statements with a result or a database error, refused those that
	// failed with an error of the proxy or of the connection.
	answered, refused int
}

// reconnect opens a new connection on the statement's route through its proxy.
func (p *proxySession) reconnect(s statement) error {
	p.disconnect()
	route := group
	if s.aged {
		route = agedRoute
	}
	var err error
	p.conn, err = dial(p.site, s.proxy%len(p.site.Proxies), route, &p.token)
	return err
}

func (p *proxySession) disconnect() {
	if p.conn != nil {
		closeConn(p.conn)
	}
	p.conn = nil
}

// run executes the statement and returns the answer in the model's notation. Database
// errors are answers; errors of the proxy or of the connection are returned as errors.
func (p *proxySession) run(s statement) (string, error) {
	if s.act == actReconnect {
		return "", p.reconnect(s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	answer, err := p.send(ctx, s)
	if token := p.conn.PgConn().ParameterStatus("chicoryline.session"); token != "" {
		p.token = token
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) && !strings.HasPrefix(pg.Detail, "kind=") {
		return "error " + pg.Code, nil
	}
	return answer, err
}

// sqlByAction maps actions to SQL. $1 is the statement's k, $2 its v.
var sqlByAction = map[action]string{
	actInsert: "INSERT INTO diff (k, v) VALUES ($1, $2)",
	actUpdate: "UPDATE diff SET v = v + $2 WHERE k = $1",
	actMove:   "UPDATE diff SET k = $2 WHERE k = $1",
	actDelete: "DELETE FROM diff WHERE k = $1",
	actSelect: "SELECT k, v FROM diff WHERE k >= $1 ORDER BY k",
	actCount:  "SELECT count(*) FROM diff",
	actBegin:  "BEGIN", actCommit: "COMMIT", actRollback: "ROLLBACK",
}

func (p *proxySession) send(ctx context.Context, s statement) (string, error) {
	if s.act == actPair {
		return p.sendPair(ctx, s)
	}
	args := []any{pgx.QueryExecModeCacheStatement}
	if s.simple {
		args[0] = pgx.QueryExecModeSimpleProtocol
	}
	sql := sqlByAction[s.act]
	for i, value := range []int64{s.k, s.v} {
		if strings.Contains(sql, "$"+strconv.Itoa(i+1)) {
			args = append(args, value)
		}
	}
	rows, err := p.conn.Query(ctx, sql, args...)
	if err != nil {
		return "", err
	}
	defer rows.Close()
	var b strings.Builder
	for rows.Next() {
		values, err := rows.Values()
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "%v ", values)
	}
	return b.String() + rows.CommandTag().String(), rows.Err()
}

// sendPair sends two inserts as one simple query, which is one implicit transaction.
func (p *proxySession) sendPair(ctx context.Context, s statement) (string, error) {
	sql := fmt.Sprintf("INSERT INTO diff (k, v) VALUES (%d, %d); INSERT INTO diff (k, v) VALUES (%d, %d)", s.k, s.v, s.v, s.k)
	results, err := p.conn.PgConn().Exec(ctx, sql).ReadAll()
	var tags []string
	for _, r := range results {
		tags = append(tags, r.CommandTag.String())
	}
	return strings.Join(tags, ";"), err
}

// runHistory runs one history through the proxies and compares each answer with the
// candidate models. A statement of unknown outcome adds a candidate in which it took
// effect.
func (p *proxySession) runHistory(models []oneCopy, history []statement) error {
	for i, s := range history {
		if !models[0].isApplicable(s) {
			continue
		}
		answer, err := p.run(s)
		if err != nil {
			p.refused++
			if models, err = p.handleError(models, s, err); err != nil {
				return err
			}
			continue
		}
		p.answered++
		if models, err = p.keepMatching(models, s, answer); err != nil {
			return fmt.Errorf("step %d of %v: %w", i, history, err)
		}
	}
	p.disconnect()
	return p.compareTables(models)
}

// keepMatching returns the models, after the statement, whose answer and transaction
// status match. It fails if there are none.
func (p *proxySession) keepMatching(models []oneCopy, s statement, answer string) ([]oneCopy, error) {
	var left []oneCopy
	var want []string
	for _, m := range models {
		expected, after := m.run(s)
		want = append(want, fmt.Sprintf("%q status %c", expected, after.status()))
		if expected == answer && after.status() == p.conn.PgConn().TxStatus() {
			left = append(left, after)
		}
	}
	if len(left) == 0 {
		return nil, fmt.Errorf("%s answered %q with transaction status %c, the models expect %v", s, answer, p.conn.PgConn().TxStatus(), want)
	}
	return left, nil
}

// handleError updates the models after an error of the proxy or of the connection. If the
// caller has no open transaction any more, that of the models is rolled back.
func (p *proxySession) handleError(models []oneCopy, s statement, cause error) ([]oneCopy, error) {
	var left []oneCopy
	for _, m := range models {
		if _, after := m.run(s); outcomeClass(cause) == load.Unknown && after.openRows == nil {
			left = append(left, after)
		}
		if p.conn == nil || p.conn.IsClosed() || p.conn.PgConn().TxStatus() == 'I' {
			m = m.disconnect()
		}
		left = append(left, m)
	}
	if p.conn != nil && !p.conn.IsClosed() {
		return left, nil
	}
	return left, p.reconnect(s)
}

// compareTables reads the final table as current data through every proxy and compares
// it with the models.
func (p *proxySession) compareTables(models []oneCopy) error {
	var want []string
	for _, m := range models {
		want = append(want, selectFrom(m.rows, 0))
	}
	for proxy := range p.site.Proxies {
		if err := p.reconnect(statement{proxy: proxy}); err != nil {
			return err
		}
		answer, err := p.run(statement{act: actSelect})
		if err != nil {
			return err
		}
		if !slices.Contains(want, answer) {
			return fmt.Errorf("proxy %d returns the final table %q, the models expect %v", proxy, answer, want)
		}
	}
	return nil
}

// reset empties the table and returns the model of an empty table.
func (p *proxySession) reset() ([]oneCopy, error) {
	if err := p.reconnect(statement{}); err != nil {
		return nil, err
	}
	if _, err := p.conn.Exec(context.Background(), "DELETE FROM diff"); err != nil {
		return nil, err
	}
	p.token = p.conn.PgConn().ParameterStatus("chicoryline.session")
	return []oneCopy{{rows: map[int64]int64{}}}, nil
}

// actionWeights holds the relative frequency of each action.
var actionWeights = map[action]int{
	actInsert: 5, actPair: 2, actUpdate: 3, actMove: 2, actDelete: 2, actSelect: 4, actCount: 1,
	actBegin: 4, actCommit: 3, actRollback: 2, actReconnect: 2,
}

func statementGenerator() *rapid.Generator[statement] {
	var acts []action
	for _, act := range slices.Sorted(maps.Keys(actionWeights)) {
		acts = append(acts, slices.Repeat([]action{act}, actionWeights[act])...)
	}
	return rapid.Custom(func(t *rapid.T) statement {
		return statement{
			act: rapid.SampledFrom(acts).Draw(t, "act"),
			k:   rapid.Int64Range(0, keyRange-1).Draw(t, "k"), v: rapid.Int64Range(0, keyRange-1).Draw(t, "v"),
			simple: rapid.Bool().Draw(t, "simple"), proxy: rapid.IntRange(0, 2).Draw(t, "proxy"), aged: rapid.Bool().Draw(t, "aged"),
		}
	})
}

// fixSeed makes rapid reproducible: fixed seed and number of checks, no failure files.
func fixSeed(t *testing.T) {
	for name, value := range map[string]int{"rapid.seed": differentialSeed, "rapid.checks": differentialChecks} {
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			t.Fatal(err)
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
}

func newProxySession(t *testing.T) *proxySession {
	p := &proxySession{site: startSite(t, 3)}
	slowLastReplica(p.site)
	t.Cleanup(func() { p.disconnect() })
	if _, err := connect(t, p.site, 0, group, nil).Exec(t.Context(), "CREATE TABLE diff (k bigint PRIMARY KEY, v bigint)"); err != nil {
		t.Fatal(err)
	}
	return p
}

// TestProxyMatchesOneCopyModel runs random sequential histories of one session, which
// reconnects through different proxies, and compares answers, transaction states and
// final tables with a model that holds one copy of the table in memory.
func TestProxyMatchesOneCopyModel(t *testing.T) {
	t.Parallel()
	fixSeed(t)
	p := newProxySession(t)
	t.Run("random histories", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			history := rapid.SliceOfN(statementGenerator(), minSteps, maxSteps).Draw(rt, "history")
			models, err := p.reset()
			if err == nil {
				err = p.runHistory(models, history)
			}
			if err != nil {
				rt.Fatalf("seed=%d %v", differentialSeed, err)
			}
		})
		t.Logf("seed=%d answered=%d refused=%d", differentialSeed, p.answered, p.refused)
		if p.answered <= p.refused {
			t.Errorf("refused %d statements, answered only %d", p.refused, p.answered)
		}
	})
	t.Run("incorrect model is detected", func(t *testing.T) {
		models, err := p.reset()
		if err != nil {
			t.Fatal(err)
		}
		models[0].keepsRolledBack = true
		err = p.runHistory(models, []statement{{act: actBegin}, {act: actInsert, k: 1}, {act: actRollback}, {act: actSelect}})
		if err == nil {
			t.Fatal("a model that keeps rolled-back rows was not detected")
		}
		t.Logf("seed=%d violation=%q", differentialSeed, err)
	})
}
