// Package policy decides role changes from demand, capacity and price. Pure.
package policy
