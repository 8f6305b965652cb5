package main

// commands lists the commands of the binary.
func commands() []command {
	return []command{
		{"serve", "run one proxy process", "Runs one proxy process until SIGINT or SIGTERM, which start a graceful shutdown.", &serveCommand{}},
		{"entry", "run one process on the users' platform", "Serves callers on the users' platform. The environment variable CHICORYLINE_CONFIG holds the path of the settings file. SIGINT or SIGTERM start a graceful shutdown.", &entryCommand{}},
		{"explain", "explain why a request was not served", "Merges logs, traces the request with the id and prints its log lines and the cause. Exit status 1: no log mentions it.", &explainCommand{}},
		{"check", "check a settings file", "Checks a settings file completely and reports every error with section, key and line.", &checkCommand{}},
		{"patch", "submit a patch of the configuration", "Submits a patch that is based on a numbered version. Its final state is in force, refused or unknown.", &patchCommand{}},
		{"config", "show, check or release the configuration", "Shows the configuration in force or its history, checks one of the users' platform, or releases a failure domain.", &configCommand{}},
		{"key", "create or withdraw customers' keys", "Creates a key and prints the patch line that grants it, or withdraws a key.", &keyCommand{}},
		{"status", "print the state of every process", "Prints one key=value line for each process.", &statusCommand{}},
		{"handover", "move a group's primary", "Switches the primary of a database group over to another backend server, without lost or refused writes.", &handoverCommand{}},
		{"timeline", "print the events of all processes", "Collects the events of all processes and merges them in causal order.", &timelineCommand{}},
		{"demo", "demonstrate the proxy on stand-ins", "Runs a site of stand-ins and proxies in one process, with load and faults, and reports whether a guarantee was violated.", &demoCommand{}},
		{"bench", "benchmark the proxy on stand-ins", "Measures behavior under load, latency or memory on stand-ins in one process, compared with a pass-through proxy.", &benchCommand{}},
		{"standin", "run a stand-in for tests", "Runs a stand-in of the platform or of one backend server.", &standinCommand{}},
	}
}
