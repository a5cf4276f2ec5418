package operator

import (
	"errors"
	"fmt"
	"io"
	"os"

	"fescuestand/internal/explain"
	"fescuestand/internal/kernel"
)

type explainCommand struct {
	out  io.Writer
	in   io.Reader
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request"`
		Files []string `positional-arg-name:"LOG" description:"log files, one a VM; standard input if there is none"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Args.ID == "" {
		return &exitError{kernel.ExitUsage, errors.New("6014 bad-usage: the id of a request is required")}
	}
	lines, err := c.lines()
	if err != nil {
		return &exitError{kernel.ExitUsage, fmt.Errorf("6014 bad-usage: %w", err)}
	}
	return explain.Find(lines, c.Args.ID).Write(c.out)
}

func (c *explainCommand) lines() ([]explain.Line, error) {
	if len(c.Args.Files) == 0 {
		return explain.Read("stdin", c.in)
	}
	var all []explain.Line
	for _, name := range c.Args.Files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // a close error of a file that was only read is harmless
	return explain.Read(name, f)
}
