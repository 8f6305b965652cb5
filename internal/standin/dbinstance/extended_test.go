package dbinstance

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// exchangeMessages sends the messages and returns one string for each response message
// up to the ReadyForQuery of the last Sync: the SQLSTATE of an error, the transaction
// status of ReadyForQuery, or the message name.
func exchangeMessages(t *testing.T, conn *pgx.Conn, messages ...pgproto3.FrontendMessage) []string {
	t.Helper()
	front := conn.PgConn().Frontend()
	syncs := 0
	for _, m := range messages {
		front.Send(m)
		if _, ok := m.(*pgproto3.Sync); ok {
			syncs++
		}
	}
	if err := front.Flush(); err != nil {
		t.Fatal(err)
	}
	var names []string
	for syncs > 0 {
		msg, err := front.Receive()
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("%T", msg)[len("*pgproto3."):]
		switch msg := msg.(type) {
		case *pgproto3.ErrorResponse:
			name = msg.Code
		case *pgproto3.CommandComplete:
			name = string(msg.CommandTag)
		case *pgproto3.ParameterStatus:
			name = msg.Name
		case *pgproto3.ReadyForQuery:
			name = string(msg.TxStatus)
			syncs--
		}
		names = append(names, name)
	}
	return names
}

func TestExtendedProtocol(t *testing.T) {
	parse := func(name, query string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: query} }
	bind := func(portal, statement string) *pgproto3.Bind {
		return &pgproto3.Bind{DestinationPortal: portal, PreparedStatement: statement}
	}
	sync := &pgproto3.Sync{}
	cases := []struct {
		name     string
		messages []pgproto3.FrontendMessage
		want     []string
	}{
		{"suspended portal", []pgproto3.FrontendMessage{
			parse("s", "SELECT k FROM kv ORDER BY k"), bind("p", "s"),
			&pgproto3.Execute{Portal: "p", MaxRows: 2}, &pgproto3.Execute{Portal: "p"}, sync,
		}, []string{"ParseComplete", "BindComplete", "DataRow", "DataRow", "PortalSuspended", "DataRow", "SELECT 3", "I"}},
		{"statement outlives Sync, portal does not", []pgproto3.FrontendMessage{
			bind("p", "s"), sync, &pgproto3.Execute{Portal: "p"}, sync,
		}, []string{"BindComplete", "I", codeUndefinedPortal, "I"}},
		{"name in use", []pgproto3.FrontendMessage{parse("s", "SELECT 1"), sync}, []string{codeDuplicatePrepared, "I"}},
		{"closed statement", []pgproto3.FrontendMessage{
			&pgproto3.Close{ObjectType: 'S', Name: "s"}, bind("p", "s"), sync,
		}, []string{"CloseComplete", codeUndefinedPrepared, "I"}},
		{"error skips to Sync and rolls back", []pgproto3.FrontendMessage{
			parse("", "INSERT INTO kv VALUES ('d', 4)"), bind("", ""), &pgproto3.Execute{},
			parse("", "SELECT * FROM none"), parse("", "SELECT 1"), sync,
			parse("", "SELECT k FROM kv WHERE k = 'd'"), bind("", ""), &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, sync,
		}, []string{
			"ParseComplete", "BindComplete", "INSERT 0 1", codeUndefinedTable, "I",
			"ParseComplete", "BindComplete", "RowDescription", "SELECT 0", "I",
		}},
		{"commit at Sync reports its position", []pgproto3.FrontendMessage{
			parse("", "INSERT INTO kv VALUES ('e', 5)"), &pgproto3.Describe{ObjectType: 'S'}, bind("", ""), &pgproto3.Execute{}, sync,
		}, []string{"ParseComplete", "ParameterDescription", "NoData", "BindComplete", "INSERT 0 1", "log_position", "I"}},
		{"failed transaction", []pgproto3.FrontendMessage{
			parse("", "BEGIN"), bind("", ""), &pgproto3.Execute{}, sync,
			parse("", "SELECT x"), sync, parse("", "SELECT 1"), sync,
			parse("", "COMMIT"), bind("", ""), &pgproto3.Execute{}, sync,
		}, []string{
			"ParseComplete", "BindComplete", "BEGIN", "T", codeUndefinedColumn, "E", codeFailedTransaction, "E",
			"ParseComplete", "BindComplete", "ROLLBACK", "I",
		}},
		{"empty statement", []pgproto3.FrontendMessage{parse("", " ; "), bind("", ""), &pgproto3.Execute{}, sync},
			[]string{"ParseComplete", "BindComplete", "EmptyQueryResponse", "I"}},
	}
	conn := connect(t, startServer(t, Config{}))
	exec(t, conn, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	exec(t, conn, "INSERT INTO kv VALUES ('a', 1), ('b', 2), ('c', 3)")
	for _, c := range cases {
		if diff := cmp.Diff(c.want, exchangeMessages(t, conn, c.messages...)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
