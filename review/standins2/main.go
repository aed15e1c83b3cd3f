// Command standins2 plays the cases of the second review that are scripts: it starts processes of the project, clients,
// upstreams and a store, writes what was sent, answered and run, and ends all processes that it started.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenarios are the cases, by the number of their folder. Each returns true if the rule was broken.
var scenarios = map[string]func(d *deployment, trouble bool) bool{}

func main() { os.Exit(run(os.Args[1:], os.Getenv("TROUBLE") != "0")) }

// run plays the case with the given number, and writes record.txt into its folder.
func run(args []string, trouble bool) (code int) {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		return exitCannotRun
	}
	file, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	rec.line("case %s, with the disruption: %t", args[0], trouble)
	defer func() {
		var cannot errCannotRun
		if p := recover(); p != nil {
			err, ok := p.(error)
			if !ok || !errors.As(err, &cannot) {
				panic(p)
			}
			rec.line("the case couldn't run: %s", cannot.text)
			fmt.Println("the case couldn't run:", cannot.text)
			code = exitCannotRun
		}
	}()
	d := newDeployment(rec)
	defer d.close(os.Getenv("KEEP_LOGS"))
	time.AfterFunc(timeLimit, func() {
		rec.line("the case couldn't run: it takes too long")
		d.close("")
		os.Exit(exitCannotRun)
	})
	if scenarios[args[0]](d, trouble) {
		return exitBroken
	}
	return exitHeld
}

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second
