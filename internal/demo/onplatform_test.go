package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func TestPlatformDemoHasNoViolations(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f, err := RunOnPlatform(context.Background(), 3*time.Second, 1, io.Discard, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	if f.Served == 0 || f.ViolationCount() > 0 {
		t.Errorf("%+v", f)
	}
}
