// Package admit decides whether and when a request may go: early refusal by deadline, a bounded queue per priority, earliest deadline first. Pure.
package admit
