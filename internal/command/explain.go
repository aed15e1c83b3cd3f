package command

import (
	"fmt"
	"net/url"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

const explainLong = `Shows what the daemons decided about a request (the X-Request-Id of an answer) or
a change (an order's id, a runner, or a decision of the role policy), and why. Every
daemon of --operators is asked; each remembers its latest decisions only. For older
changes see audit.`

// explainCommand implements "explain": it asks every daemon what it decided about a
// request or a change, and prints the explanations.
type explainCommand struct {
	Args struct {
		Subject string `positional-arg-name:"request|change"`
		ID      string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// explanation is the response of an operators' port.
type explanation struct {
	Lines []string `json:"lines"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	s := c.session
	if err := rejectArgs(args); err != nil {
		return err
	}
	if c.Args.Subject != "request" && c.Args.Subject != "change" {
		return usagef("%q: want request ID or change ID", c.Args.Subject)
	}
	client, err := s.newOperatorsClient()
	if err != nil {
		return err
	}
	defer client.close()
	found, failures := 0, 0
	var lastErr error
	path := "/explain?" + url.Values{c.Args.Subject: {c.Args.ID}}.Encode()
	for _, address := range client.addresses {
		var e explanation
		err := client.get(s.ctx, address, path, &e)
		switch {
		case err == nil:
			found++
			c.print(address, e)
		case errkind.Is(err, errkind.NotFound):
		default:
			failures++
			lastErr = err
			s.warn("%v", err)
		}
	}
	if found > 0 {
		return nil
	}
	return c.notFoundError(failures, len(client.addresses), lastErr)
}

func (c *explainCommand) print(address string, e explanation) {
	fmt.Fprintf(c.session.Out, "%s\n", address)
	for _, line := range e.Lines {
		fmt.Fprintf(c.session.Out, "  %s\n", sanitize(line))
	}
}

// notFoundError returns the error for a subject that none of the asked daemons knows.
// failures is the number of daemons that could not be asked; if there are any, the error
// has the kind of lastErr, the last of their errors.
func (c *explainCommand) notFoundError(failures, asked int, lastErr error) error {
	about := fmt.Sprintf("%s %s", c.Args.Subject, c.Args.ID)
	if failures > 0 {
		return errkind.New(errkind.From(lastErr).Kind, errkind.NotRun,
			fmt.Sprintf("%d of %d daemons did not answer, and the others know nothing about %s", failures, asked, about))
	}
	return errkind.New(errkind.NotFound, errkind.NotRun,
		fmt.Sprintf("none of %d daemons knows anything about %s", asked, about))
}
