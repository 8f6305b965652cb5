// Package harness runs the program under review as separate processes on the stand-ins of the
// users' platform. Each case of the review is a program of its own that uses it.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/world"
	"chicoryline/platform"
)

// Exit statuses of a case.
const (
	StatusHeld    = 0
	StatusBroken  = 1
	StatusNotRun  = 2
	readyTimeout  = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	exchangeLimit = 3 * time.Second
)

// Record is the record of a run: what was sent, answered and run, with the time since the start.
// The mutex guards the file.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Addf adds one line.
func (r *Record) Addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record file.
func (r *Record) Close() error { return r.file.Close() }

// Fleet is an installation of stand-ins with the processes of the program.
type Fleet struct {
	World  *world.World
	Record *Record
	// Program is the path of the program, Folder holds settings files and logs.
	Program, Folder string
	// StoreAddress returns the address of the store and the promotion service for a VM; nil
	// stands for that of the stand-in itself.
	StoreAddress func(vm int) string

	processes []*exec.Cmd
}

// NewFleet starts the stand-ins. Processes are started by Start.
func NewFleet(o world.Options, program string, record *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	// Loopback networks of concurrent runs differ.
	o.Network = fmt.Sprintf("%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250)
	w, err := world.New(o)
	if err != nil {
		return nil, err
	}
	return &Fleet{World: w, Record: record, Program: program, Folder: folder, processes: make([]*exec.Cmd, o.VMs)}, nil
}

// Start starts the process of a VM with the command of the deploy file.
func (f *Fleet) Start(vm int) error {
	store := f.World.Store.Address()
	if f.StoreAddress != nil {
		store = f.StoreAddress(vm)
	}
	settings, err := f.World.WriteSettings(f.Folder, vm, store)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(f.LogPath(vm), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(f.Program, "entry")
	c.Env = append(os.Environ(), platform.SettingsPathEnv+"="+settings)
	c.Stdout, c.Stderr = out, out
	// The process ends with the program that started it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	f.processes[vm] = c
	f.Record.Addf("vm%d: process started", vm)
	return nil
}

// LogPath returns the path of a VM's log.
func (f *Fleet) LogPath(vm int) string { return filepath.Join(f.Folder, fmt.Sprintf("vm%d.log", vm)) }

// Signal sends a signal to the process of a VM.
func (f *Fleet) Signal(vm int, s syscall.Signal) {
	f.Record.Addf("vm%d: signal %v", vm, s)
	if err := f.processes[vm].Process.Signal(s); err != nil {
		f.Record.Addf("vm%d: %v", vm, err)
	}
}

// Wait waits for the end of a VM's process.
func (f *Fleet) Wait(vm int) {
	err := f.processes[vm].Wait()
	f.Record.Addf("vm%d: process ended: %v", vm, err)
	f.processes[vm] = nil
}

// Close ends all processes and stand-ins and removes the folder unless KEEP_LOGS is set.
func (f *Fleet) Close() {
	for vm, c := range f.processes {
		if c != nil {
			f.Signal(vm, syscall.SIGKILL)
			f.Wait(vm)
		}
	}
	f.World.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", f.Folder)
		return
	}
	if err := os.RemoveAll(f.Folder); err != nil {
		fmt.Println(err)
	}
}

// AwaitReads waits until the VM answers a read of the database.
func (f *Fleet) AwaitReads(vm int, database, key string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		c, err := lineclient.Dial(f.World.FrontAddress(vm), database, key, exchangeLimit)
		if err != nil {
			continue
		}
		a, err := c.Query(fmt.Sprintf("ready%d", time.Now().UnixNano()), "READ ready")
		c.Close()
		if err == nil && a.Code == "" {
			return nil
		}
	}
	return fmt.Errorf("vm%d does not answer reads of %s", vm, database)
}

// Program returns the path of the program under review.
func Program() string {
	if p := os.Getenv("PROGRAM"); p != "" {
		return p
	}
	return "target/chicoryline"
}

// IsOn reports whether a disruption is to be made. OMIT in the environment names one that is left
// out.
func IsOn(trouble bool, name string) bool { return trouble && os.Getenv("OMIT") != name }

// Main runs a case and exits with its status. The first argument is the path of the record.
// trouble is false if TROUBLE=0 is set.
func Main(run func(record *Record, trouble bool) (broken bool, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(*Record, bool) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Println("usage: PROGRAM RECORD")
		return StatusNotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return StatusNotRun
	}
	defer record.Close()
	broken, err := run(record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Addf("not run: %v", err)
		fmt.Println("not run:", err)
		return StatusNotRun
	case broken:
		record.Addf("result: rule broken")
		fmt.Println("rule broken")
		return StatusBroken
	}
	record.Addf("result: rule held")
	fmt.Println("rule held")
	return StatusHeld
}
