package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"oleandervalve/io/settings"
)

type checkCommand struct {
	File      string `long:"settings" value-name:"FILE" description:"settings file to check"`
	Reference bool   `long:"reference" description:"print the reference of all fields as a Markdown page"`
}

// Execute prints the effective settings of a file, or the settings reference.
func (c *checkCommand) Execute([]string) error {
	switch {
	case c.Reference == (c.File != ""):
		return &flags.Error{Type: flags.ErrRequired, Message: "give either --settings FILE or --reference"}
	case c.Reference:
		return settings.WriteReference(os.Stdout)
	}
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return s.Write(os.Stdout)
}
