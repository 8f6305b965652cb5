package caller

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/pool"
)

// Guards against a caller that names a statement which another caller has prepared on the shared
// connection, and would run it without the checks of its own route.
func TestStatementsOfOthersCannotBeNamed(t *testing.T) {
	name := statementName(pool.Statement{Query: "INSERT INTO t VALUES (1)"})
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Describe{ObjectType: 'S', Name: name}, &pgproto3.Bind{},
	} {
		b := &batch{}
		b.addExtended(m, map[string]pool.Statement{})
		if bytes.Contains(b.messages, []byte(name)) || !bytes.Contains(b.messages, []byte(closedStatement)) {
			t.Errorf("%T is passed on as %q", m, b.messages)
		}
	}
}

// Guards against a write that counts as a read because another portal of the batch reads.
func TestExecuteIsClassifiedByItsPortal(t *testing.T) {
	const read, write = "SELECT 1", "INSERT INTO t VALUES (1)"
	for _, c := range []struct {
		portal string
		reads  bool
	}{{"r", true}, {"w", false}} {
		b, prepared := &batch{}, map[string]pool.Statement{}
		for _, m := range []pgproto3.FrontendMessage{
			&pgproto3.Parse{Name: "w", Query: write}, &pgproto3.Parse{Name: "r", Query: read},
			&pgproto3.Bind{PreparedStatement: "w", DestinationPortal: "w"}, &pgproto3.Bind{PreparedStatement: "r", DestinationPortal: "r"},
			&pgproto3.Execute{Portal: c.portal},
		} {
			b.addExtended(m, prepared)
		}
		if b.all(isRead) != c.reads {
			t.Errorf("portal %s counts as a read: %t", c.portal, !c.reads)
		}
	}
}
