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
