package portguard

import "testing"

// TestLimits checks that what ports hold leaves room for the process itself at any size, and that the largest body that
// the platform's configurations allow is held in calm by an instance of 32 MB.
func TestLimits(t *testing.T) {
	const body = 4 << 20
	for _, memoryMB := range []int{1, 8, 16, 32, 64, 160, 284, 1048} {
		callers := Limits(memoryMB, CallerMemoryShare, 4100, CallerDescriptorShare)
		runtime := RuntimeLimit(memoryMB)
		if memory := int64(memoryMB) << 20; callers.Bytes > memory/3 || runtime > memory || callers.Bytes > runtime/2 {
			t.Errorf("%d MB: callers may hold %d, the runtime may use %d", memoryMB, callers.Bytes, runtime)
		}
		if callers.Connections < 1 || callers.Connections > 2460 {
			t.Errorf("%d MB: %d connections", memoryMB, callers.Connections)
		}
		if memoryMB >= 32 && callers.LargestBody() < body {
			t.Errorf("%d MB: the largest body has %d bytes", memoryMB, callers.LargestBody())
		}
	}
}
