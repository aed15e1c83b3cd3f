// Package stream assembles one answer from the items of one or more upstream
// streams. Assembler is the pure core: correlation, order, end marker and token
// count. Relay is the thin shell around it that resumes a broken stream.
package stream
