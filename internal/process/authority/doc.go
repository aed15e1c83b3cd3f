// Package authority is the lease state machine of one availability zone: who may give orders, and until when. Pure.
package authority
