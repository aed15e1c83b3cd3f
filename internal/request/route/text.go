package route

import "github.com/cespare/xxhash/v2"

// BytesPerToken is the mean length of a token used for estimates before an engine has counted.
const BytesPerToken = 4

// EstimateTokens estimates the tokens of a text from its length, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// MaxPrefixBlocks bounds the hashes computed for one prompt.
const MaxPrefixBlocks = 1024

// PrefixHashes gives the chained hashes of the full blocks at the start of a
// text: a hash stands for its block and all before it. A trailing part shorter
// than a block has no hash.
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
