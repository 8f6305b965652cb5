// Package deps pins the modules of the first packages until they import them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/asynkron/protoactor-go/actor"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/lib/pq"
	_ "github.com/qmuntal/stateless"
	_ "github.com/rcrowley/go-metrics"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
