// Package command implements ragwortctl, the operators' command line, with one file
// for each command. Commands validate their input before they write, write to the
// platform conditionally on the version that they read, and query daemons over their
// operators' ports.
//
// Errors are printed to the standard error output. Package errkind defines the exit
// code of each kind of error.
package command
