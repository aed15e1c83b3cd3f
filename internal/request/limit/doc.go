// Package limit enforces the limits of each client account on its request rate and tokens in flight. The limits
// apply across all gateways (the processes that admit requests), which report to each other how much of them
// they have used. The package is pure: callers pass in the time and the reports.
//
// Terms of this package:
//   - A client account is a customer of the system.
//   - The tokens in flight of an account are the prompt tokens plus the expected output tokens of its requests that
//     have been admitted and haven't ended.
//   - The burst is the capacity of an account's token bucket, in requests.
//   - A gateway is cut off while reports of another known gateway are missing. It then enforces an equal share of each
//     limit, against its own use alone.
package limit
