// Package stream assembles one answer from the items of one or more upstream streams.
// Assembler is the pure core: it checks run id, order, end marker and token count.
// Relay reads the streams through an Assembler and resumes a broken stream.
package stream
