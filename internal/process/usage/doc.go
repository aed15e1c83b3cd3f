// Package usage counts the requests of client accounts in fixed time windows and decides
// when to report each window, so that a window is never reported with different counts.
//
// Each instance counts the requests of its own callers that begin to run (Counter) and sends
// the counts, which only grow, to the instances that may hold the lease under which usage is
// reported. Those instances add up the counts that they receive (Ledger). The lease holder
// (Reporter) writes the sum for a window to the platform's store before it reports it. If
// another instance holds the lease afterwards, it reads the stored sum and reports the same.
//
// Terms:
//
//   - A window is a period of wall-clock time of a fixed length. Windows are numbered.
//   - A part is a message with the counts, or some of them, of one instance for one window.
//   - The record is the object in the platform's store that holds the intents. An intent is
//     what a window was or will be reported with. It is written before the first report.
//   - The fence is the fencing token of the lease. It differs for each lease and is sent with each
//     report, so that reports of a former holder can be refused.
//   - The era is a number that changes each time the platform's store is restored from an older
//     copy of its data.
//
// The package does no I/O: its types get times and events and return the actions to take.
package usage
