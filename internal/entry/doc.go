// Package entry assembles the fescue-entry process from its parts: the callers' interface, admission
// and dispatch, commits, forwarding between peers, and the drain of a leaving VM.
package entry
