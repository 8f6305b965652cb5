package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"chicoryline/internal/configcheck"
	"chicoryline/platform"
)

// Exit statuses of config check, besides 0 for a document without findings.
const (
	exitWarnings = 4
	exitErrors   = 5
)

// exitCode is an exit status whose cause was already printed.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

// configCheckCommand checks a configuration of the users' platform before it is sent.
type configCheckCommand struct {
	Against  string `long:"against" value-name:"FILE" description:"version in force, to show the differences"`
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings file of a process; its store holds the version in force"`
	JSON     bool   `long:"json" description:"print the report as JSON"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true" description:"JSON document; - for standard input"`
	} `positional-args:"true"`
}

// checkReport is the output of config check.
type checkReport struct {
	Version        int64                 `json:"version"`
	VersionInForce int64                 `json:"version_in_force,omitempty"`
	Findings       []configcheck.Finding `json:"findings"`
	Changes        []configcheck.Change  `json:"changes"`
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute([]string) error {
	data, err := readDocument(c.Args.File)
	if err != nil {
		return err
	}
	inForce, err := c.readInForce()
	if err != nil {
		return err
	}
	report, err := checkDocument(data, inForce)
	if err != nil {
		return err
	}
	return report.print(os.Stdout, c.JSON)
}

func readDocument(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// readInForce returns the version in force, nil if none is to be compared with.
func (c *configCheckCommand) readInForce() ([]byte, error) {
	switch {
	case c.Against != "" && c.Settings != "":
		return nil, errors.New("--against and --settings exclude each other")
	case c.Against != "":
		return readDocument(c.Against)
	case c.Settings == "":
		return nil, nil
	}
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	return platform.StoredConfig(ctx, settings.StoreAddress)
}

// checkDocument reports on a document and, if it is not nil, on its differences from the one in
// force. A document that cannot be decoded is a finding; one in force that cannot is an error.
func checkDocument(data, inForce []byte) (*checkReport, error) {
	document, findings, err := platform.DecodeDocument(data)
	if err != nil {
		invalid := configcheck.Finding{Level: configcheck.Error, Kind: configcheck.Invalid, Object: "document", Text: err.Error()}
		return &checkReport{Findings: []configcheck.Finding{invalid}, Changes: []configcheck.Change{}}, nil
	}
	r := &checkReport{Version: document.Version, Changes: []configcheck.Change{}, Findings: []configcheck.Finding{}}
	r.Findings = append(append(r.Findings, findings...), configcheck.Check(document, platform.CheckLimits())...)
	if inForce == nil {
		return r, nil
	}
	present, _, err := platform.DecodeDocument(inForce)
	if err != nil {
		return nil, errors.Annotate(err, "version in force")
	}
	changes, findings := configcheck.Diff(document, present)
	r.VersionInForce, r.Changes, r.Findings = present.Version, append(r.Changes, changes...), append(r.Findings, findings...)
	return r, nil
}

// print writes the report and returns the exit status that follows from it.
func (r *checkReport) print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return err
		}
	} else {
		for _, f := range r.Findings {
			fmt.Fprintf(out, "%s=%s object=%q text=%q\n", f.Level, f.Kind, f.Object, f.Text)
		}
		for _, c := range r.Changes {
			fmt.Fprintf(out, "object=%q change=%q\n", c.Object, c.Change)
		}
		fmt.Fprintf(out, "version=%d version_in_force=%d findings=%d changes=%d\n", r.Version, r.VersionInForce, len(r.Findings), len(r.Changes))
	}
	status := 0
	for _, f := range r.Findings {
		if f.Level == configcheck.Error {
			return exitCode(exitErrors)
		}
		status = exitWarnings
	}
	if status != 0 {
		return exitCode(status)
	}
	return nil
}
