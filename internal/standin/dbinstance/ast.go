package dbinstance

// Statement is a parsed SQL statement: a pointer to one of the types below.
type Statement interface{}

// Statements on the session or the transaction.
type (
	beginStatement struct {
		readOnly  bool
		readWrite bool
	}
	commitStatement   struct{}
	rollbackStatement struct{}
	showStatement     struct{ name string }
	setStatement      struct{ name, value string }
	resetStatement    struct{ name string }
	// setTransactionStatement changes the mode of the open transaction.
	setTransactionStatement struct{ beginStatement }
	discardStatement        struct{}
	// deallocateStatement removes one prepared statement, or all if name is empty.
	deallocateStatement struct{ name string }
	// unsupportedStatement is rejected with SQLSTATE 0A000 when it is executed.
	unsupportedStatement struct{ what string }
)

// Statements on tables.
type (
	createStatement struct {
		table       string
		ifNotExists bool
		columns     []columnDef
	}
	dropStatement struct {
		table    string
		ifExists bool
	}
	insertStatement struct {
		table     string
		columns   []string
		rows      [][]expr
		doNothing bool
		returning []selectItem
	}
	updateStatement struct {
		table     string
		set       []assignment
		where     []condition
		returning []selectItem
	}
	deleteStatement struct {
		table     string
		where     []condition
		returning []selectItem
	}
	// selectStatement has an empty table name if there is no FROM clause.
	selectStatement struct {
		items     []selectItem
		table     string
		where     []condition
		orderBy   []orderItem
		limit     expr
		forUpdate bool
	}
	// callStatement is SELECT * FROM function(args) with an instance function.
	callStatement struct {
		function string
		args     []expr
	}
)

type columnDef struct {
	Name    string `json:"n"`
	OID     uint32 `json:"t"`
	Primary bool   `json:"p,omitempty"`
	NotNull bool   `json:"nn,omitempty"`
}

type assignment struct {
	column string
	value  expr
}

type condition struct {
	column string
	op     string
	// values has exactly one element, except for the operator "in".
	values []expr
}

type orderItem struct {
	column     string
	descending bool
}

// selectItem is one item of a SELECT or RETURNING list; star is set for "*", which
// stands for all columns of the table.
type selectItem struct {
	star  bool
	value expr
	alias string
}

type expr interface{}

type (
	literal   struct{ value Value }
	parameter struct{ number int }
	columnRef struct{ name string }
	binaryOp  struct {
		op          string
		left, right expr
	}
	castOp struct {
		value expr
		oid   uint32
	}
	funcCall struct {
		name string
		star bool
		args []expr
	}
)

// isWrite reports whether only a primary can execute the statement.
func isWrite(s Statement) bool {
	switch s := s.(type) {
	case *createStatement, *dropStatement, *insertStatement, *updateStatement, *deleteStatement:
		return true
	case *selectStatement:
		return s.forUpdate
	case *beginStatement:
		return s.readWrite
	case *setTransactionStatement:
		return s.readWrite
	}
	return false
}
