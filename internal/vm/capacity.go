package vm

const (
	// requestCPU is the processor time of a request with its share of the beats,
	// in seconds, and requestMbit what it puts on the VM's link: a prompt comes in
	// and goes out twice.
	requestCPU  = 0.0022
	requestMbit = 0.3
	// unknownCapacity is assumed where the limits don't say.
	unknownCapacity = 100
)

// Capacity is how many requests a second a VM can take that has cores of
// processor and a link of linkMbps; zero stands for a limit that isn't known.
func Capacity(cores, linkMbps float64) uint32 {
	if cores <= 0 || linkMbps <= 0 {
		return unknownCapacity
	}
	return uint32(max(min(cores/requestCPU, linkMbps/requestMbit), 1))
}
