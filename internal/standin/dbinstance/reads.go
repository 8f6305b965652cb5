package dbinstance

import "sync/atomic"

// readCounts counts the reads of tables, by the role of the instance at the time.
type readCounts struct {
	primary atomic.Int64
	replica atomic.Int64
}

// record counts the statement if it reads a table.
func (c *readCounts) record(stmt Statement, primary bool) {
	read, ok := stmt.(*selectStatement)
	if !ok || read.table == "" {
		return
	}
	if primary {
		c.primary.Add(1)
		return
	}
	c.replica.Add(1)
}

// TableReads returns the number of reads of tables that the instance has executed as
// primary and as replica since its start.
func (s *Server) TableReads() (primary, replica int64) {
	return s.reads.primary.Load(), s.reads.replica.Load()
}
