package site

// Reads counts the table reads that primaries and replicas executed.
type Reads struct {
	Primary int64
	Replica int64
}

// Since returns the reads made after an earlier count.
func (r Reads) Since(earlier Reads) Reads {
	return Reads{Primary: r.Primary - earlier.Primary, Replica: r.Replica - earlier.Replica}
}

// ReplicaShare returns the fraction of the reads that replicas executed.
func (r Reads) ReplicaShare() float64 {
	if r.Primary+r.Replica == 0 {
		return 0
	}
	return float64(r.Replica) / float64(r.Primary+r.Replica)
}

// Reads returns the sum of the backend servers' own read counters.
func (s *Site) Reads() Reads {
	var total Reads
	for _, i := range s.Instances {
		primary, replica := i.TableReads()
		total.Primary += primary
		total.Replica += replica
	}
	return total
}
