package pool

import "testing"

// BenchmarkExecute measures one read outside of a transaction, instance included.
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
