package pool

import "testing"

// BenchmarkExecute measures a read outside of a transaction, including the time of the
// stand-in instance.
func BenchmarkExecute(b *testing.B) {
	f := newFixture(b, 2)
	args := f.query("SELECT 1")
	args.Write, args.ReadOnly = false, true
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.mustExecute(args)
	}
}
