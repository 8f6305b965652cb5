package quota

import (
	"os"
	"testing"
)

func TestMeasure(t *testing.T) { Measure(os.Stdout, 1) }
