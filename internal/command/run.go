package command

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// Streams holds the standard streams of a run.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run parses args, runs the command and returns the exit code. Canceling ctx ends the
// command.
func Run(ctx context.Context, args []string, streams Streams) int {
	s := &session{ctx: ctx, Streams: streams}
	parser := flags.NewNamedParser("ragwortctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "writes desired state and shows what the system does"
	if _, err := parser.AddGroup("Addresses and keys", "", &s.options); err != nil {
		return s.report(err)
	}
	for _, c := range commands(s) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return s.report(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return s.report(err)
}

// commandDefinition describes one command to the flags parser.
type commandDefinition struct {
	name  string
	short string          // description in the list of commands
	long  string          // description in the command's own help
	data  flags.Commander // holds the command's flags and arguments
}

// commands returns all commands, in the order of the help text.
func commands(s *session) []commandDefinition {
	return []commandDefinition{
		{"apply", "write desired state", applyLong, &applyCommand{session: s}},
		{"get", "show objects", "Shows objects of a kind, or one of them.", &getCommand{session: s}},
		{"watch", "show changes as they come", "Shows every change of a kind until interrupted.", &watchCommand{session: s}},
		{"delete", "delete an object", deleteLong, &deleteCommand{session: s}},
		{"drain", "take a runner or upstream out of work", drainLong, &drainCommand{session: s}},
		{"status", "show daemons, authority, runners and refused objects", "", &statusCommand{session: s}},
		{"audit", "show the audit trail", "Shows who changed what, from, to, why and with what outcome.", &auditCommand{session: s}},
		{"explain", "show why a request or a change went as it did", explainLong, &explainCommand{session: s}},
		{"check-settings", "check a daemon's settings file", "Checks a settings file whole, without starting anything.", &checkSettingsCommand{session: s}},
		{"version", "show the version of this program", "", &versionCommand{session: s}},
	}
}

// report prints an error, if any, and returns the exit code.
func (s *session) report(err error) int {
	if err == nil {
		return errkind.ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(s.Out, usage.Message)
			return errkind.ExitOK
		}
		fmt.Fprintln(s.Err, "ragwortctl: "+usage.Message)
		return errkind.ExitUsage
	}
	if errors.Is(err, context.Canceled) && s.ctx.Err() != nil {
		fmt.Fprintln(s.Err, "ragwortctl: interrupted")
		return errkind.ExitUnavailable
	}
	failure := errkind.From(err)
	fmt.Fprintln(s.Err, "ragwortctl: "+failure.Error())
	return errkind.Lookup(failure.Kind).ExitCode
}

// usagef returns an error about the command line itself, for which report returns
// errkind.ExitUsage.
func usagef(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf(format, args...)}
}
