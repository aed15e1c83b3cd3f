package route

import "github.com/cespare/xxhash/v2"

// BytesPerToken is the assumed mean length of a token, for estimates before an engine
// has counted the tokens of a text.
const BytesPerToken = 4

// EstimateTokens estimates the number of tokens of a text from its length, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// MaxPrefixBlocks is the maximum number of hashes computed for one prompt.
const MaxPrefixBlocks = 1024

// PrefixHashes returns the chained hashes of the full blocks at the start of a text:
// each hash covers its block and all blocks before it. A trailing part shorter than a
// block has no hash.
func PrefixHashes(text string) []uint64 {
	const blockBytes = BlockTokens * BytesPerToken
	n := min(len(text)/blockBytes, MaxPrefixBlocks)
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	chain := uint64(0)
	for i := range out {
		block := text[i*blockBytes : (i+1)*blockBytes]
		chain = mix(chain ^ xxhash.Sum64String(block))
		out[i] = chain
	}
	return out
}
