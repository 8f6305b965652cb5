package platform_test

import (
	"strings"
	"testing"
)

// oddServers are entries of another writer, which name no server.
var oddServers = map[string]string{
	"port zero":    `{"service":"group0","address":"127.0.0.1:0","zone":"north","slots":5,"state":"ready","db_role":"replica"}`,
	"large port":   `{"service":"group0","address":"127.0.0.1:70000","zone":"north","slots":5,"state":"ready","db_role":"replica"}`,
	"large number": `{"service":"group0","address":"127.0.0.1:9","zone":"north","slots":9223372036854775807,"state":"ready","db_role":"primary","born":9223372036854775807}`,
	"nested":       `{"service":` + strings.Repeat("[", 30_000) + `}`,
	"binary":       "\x00\xff",
	"":             `{}`,
}

// Another writer leaves odd rows in each table that VMs follow. The list is still followed, and
// the primary is replaced when it is lost.
func TestOddRowsDoNotKeepAPrimaryFromBeingReplaced(t *testing.T) {
	f := start(t)
	group := f.Groups[0].Name()
	for key, value := range oddServers {
		f.Store.Put("servers", key, []byte(value))
	}
	f.Store.Put("members", "odd", []byte(`{"address":"127.0.0.1:70000","domain":"north"}`))
	f.Store.Put("members", "odd2", []byte(strings.Repeat("[", 30_000)))
	f.Store.Put("rosters", group, []byte(`[{"id":"odd","address":"127.0.0.1:0","domain":"north"}]`))
	f.Store.Put("stewards", group, []byte(`{"holder":"odd","token":18446744073709551615,"active":true}`))
	f.awaitWrite(0)
	f.eventually("roster is written again", func() bool {
		return strings.Contains(string(f.Store.Rows("rosters")[group]), f.primary().ID)
	})
	added := f.addServer(true)
	f.eventually("new server is listed in the roster", func() bool {
		return strings.Contains(string(f.Store.Rows("rosters")[group]), added.ID)
	})
	old := f.primary()
	old.Crash()
	f.PublishEntry(old)
	f.awaitWrite(0)
	if f.primary() == old {
		t.Error("the lost primary was not replaced")
	}
}
