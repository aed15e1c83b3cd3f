// Package route chooses the runner of a request with filters, scorers and a picker
// over a view of the fleet. It has no goroutines, clock, random source or I/O: callers
// pass in the time and the seeds.
//
// Terms of this package:
//   - Prefilling is computing the KV cache of a prompt, decoding is generating the answer. The
//     role of a runner is RolePrefill, RoleDecode or RoleBoth. A runner of RoleBoth prefills
//     and decodes in the same batch. A runner of RoleDecode normally gets the KV cache from a
//     prefill runner, but may prefill itself.
//   - A pair is a prefill runner and a decode runner that serve one request together.
//   - A Prediction holds the latencies that a request would have at a runner or a pair. The
//     request is on time if the prediction keeps within its time bounds with a safety margin.
//   - A filter rejects runners that can't serve a request. A scorer contributes to the cost of
//     the others.
//   - A journal counts what gateways sent to one runner, in bins of 100 ms. It corrects the
//     runner's last load report for what was sent since.
//   - Factors are the measured ratios of observed to predicted time. They correct predictions.
package route
