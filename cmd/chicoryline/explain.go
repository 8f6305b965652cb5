package main

import (
	"fmt"
	"os"

	"chicoryline/internal/errkind"
	"chicoryline/internal/explain"
)

// explainCommand reports from logs why a request was not served.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"the request's id"`
		Files []string `positional-arg-name:"FILE" description:"logs of the processes" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the log lines of the request and, last, the cause.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		read, err := explain.Read(name, file)
		file.Close()
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	report, err := explain.Find(c.Args.ID, lines)
	if err != nil {
		return errkind.New(errkind.NotFound, "%v", err)
	}
	for _, l := range report.Lines {
		fmt.Println(l.Text)
	}
	fmt.Println("cause:", report.Cause)
	return nil
}
