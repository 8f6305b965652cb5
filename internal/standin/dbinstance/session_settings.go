package dbinstance

import "github.com/jackc/pgx/v5/pgtype"

// settingDefaults are the values that SHOW returns for settings that were not set.
var settingDefaults = map[string]string{
	"server_version":        serverVersion,
	"transaction_isolation": "read committed",
	"client_encoding":       "UTF8",
	"timezone":              "UTC",
}

func (s *session) show(stmt *showStatement) (*Result, error) {
	value, ok := s.settings[stmt.name]
	if !ok {
		value, ok = settingDefaults[stmt.name]
	}
	if stmt.name == "transaction_read_only" {
		value, ok = "off", true
		if !s.srv.store.isWritable() || s.tx != nil && s.tx.readOnly {
			value = "on"
		}
	}
	if !ok {
		return nil, sqlErrorf("42704", "unrecognized configuration parameter")
	}
	columns := []ResultColumn{{stmt.name, pgtype.TextOID}}
	return &Result{Columns: columns, Rows: [][]Value{{textValue(value)}}, Tag: "SHOW"}, nil
}

func (s *session) discard() (*Result, error) {
	if s.explicit {
		return nil, sqlErrorf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	clear(s.settings)
	clear(s.prepared)
	clear(s.portals)
	return &Result{Tag: "DISCARD ALL"}, nil
}

func (s *session) deallocate(stmt *deallocateStatement) (*Result, error) {
	if stmt.name == "" {
		clear(s.prepared)
		return &Result{Tag: "DEALLOCATE ALL"}, nil
	}
	if _, ok := s.prepared[stmt.name]; !ok {
		return nil, sqlErrorf(codeUndefinedPrepared, "prepared statement does not exist")
	}
	delete(s.prepared, stmt.name)
	return &Result{Tag: "DEALLOCATE"}, nil
}
