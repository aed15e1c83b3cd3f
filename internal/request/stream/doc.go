// Package stream assembles one answer from the items of one or more upstream streams: correlation, order, end marker and token count. Pure.
package stream
