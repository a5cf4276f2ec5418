// Package entry puts the parts of fescue-entry together: the caller interface,
// admission and dispatch, commits, forwarding between peers, and the drain of a
// leaving VM.
package entry
