// Package command is the operators' command line, ragwortctl: one file for each
// command. A command validates what it was given, makes conditional writes at the
// platform, and asks daemons over their operators' ports.
//
// Every error ends in one line on the error output and an exit code from the
// table in errkind.
package command
