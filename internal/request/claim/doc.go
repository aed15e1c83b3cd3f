// Package claim is the protocol by which a request with an Idempotency-Key runs at most once across gateways: a pure state machine for the gateway side and one for the keeper of a bucket.
package claim
