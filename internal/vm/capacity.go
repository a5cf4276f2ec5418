package vm

const (
	// requestCPUSeconds is the processor time of a request, including its share of the beats, and
	// requestMbit its traffic on the VM's link: a prompt is received once and sent twice.
	requestCPUSeconds = 0.0022
	requestMbit       = 0.3
	// defaultCapacity in requests per second is assumed if a limit is unknown.
	defaultCapacity = 100
)

// Capacity returns how many requests per second a VM with the given processor cores and link can
// serve. Zero means that a limit is unknown.
func Capacity(cores, linkMbps float64) uint32 {
	if cores <= 0 || linkMbps <= 0 {
		return defaultCapacity
	}
	return uint32(max(min(cores/requestCPUSeconds, linkMbps/requestMbit), 1))
}
