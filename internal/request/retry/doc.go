// Package retry decides whether a failed attempt may be repeated, within a budget that is a share of traffic, and which upstreams are ejected as outliers. Pure.
package retry
