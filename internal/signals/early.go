//go:build cgo && unix

package signals

/*
#include <signal.h>
#include <stddef.h>

// Runs before the Go runtime starts, which takes a millisecond or more until subscribe. A SIGHUP in that time is ignored
// instead of ending the process: it has not read its settings yet, so there is nothing to reload. The runtime leaves an
// ignored SIGHUP alone until signal.Notify asks for it.
__attribute__((constructor)) static void ignore_early_hangup(void) {
	struct sigaction current;
	if (sigaction(SIGHUP, NULL, &current) == 0 && current.sa_handler == SIG_DFL) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
