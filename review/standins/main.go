// Command standins runs the script cases of the review: it starts stand-ins and entry processes, causes the disruption
// of a case and checks the rule. It is started in the root of the repository. The exit code is 1 if the rule was broken,
// 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(d *deployment, trouble bool) (broken []string, err error){
	"second-answer": secondAnswer,
	"strange-bytes": strangeBytes,
}

func main() { os.Exit(runCase()) }

// runCase runs the case that the first argument names, with its record in the file that the second one names.
func runCase() int {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close(os.Getenv("REVIEW_LOGS"))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.close("")
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range broken {
		r.line("BROKEN %s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
