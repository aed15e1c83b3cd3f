package route

import "slices"

// sortNames keeps views in one order, so that the same state gives the same choice.
func sortNames(names []string) { slices.Sort(names) }
