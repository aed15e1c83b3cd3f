package examples

import "embed"

// Files holds resources.json of the two deployments, for benchmarks.
//
//go:embed humo-claro/resources.json halvorsen/resources.json
var Files embed.FS
