package main

// commands lists the commands of the binary.
func commands() []command {
	return []command{
		{"serve", "run one proxy process", "Runs one proxy process until SIGINT or SIGTERM, which begin a planned stop.", &serveCommand{}},
		{"entry", "run one process on the users' platform", "Serves callers on the users' platform. The settings file is the one that the environment names; SIGINT or SIGTERM begin a planned stop.", &entryCommand{}},
		{"explain", "tell why a request was not served", "Merges logs, follows the request with the id and prints its way and the cause. Exit status 1: no log names it.", &explainCommand{}},
		{"check", "check a settings file", "Checks a settings file whole and reports every fault with section, key and line.", &checkCommand{}},
		{"patch", "submit a patch of the configuration", "Submits a patch that is based on a numbered version. It ends in force, refused or unknown.", &patchCommand{}},
		{"config", "show or release the configuration", "Shows the configuration in force or its history, or releases a failure domain.", &configCommand{}},
		{"key", "make or withdraw customers' keys", "Makes a key with the patch line that grants it, or withdraws one.", &keyCommand{}},
		{"status", "print the state of every process", "Prints one key=value line for each process.", &statusCommand{}},
		{"handover", "move a group's primary", "Hands the primary of a database group over to another backend server, without a loss or a refused write.", &handoverCommand{}},
		{"timeline", "print the events of all processes", "Gathers the events of all processes and merges them, causes before effects.", &timelineCommand{}},
		{"demo", "show the product on stand-ins", "Runs a site of stand-ins and proxies in one process, with load and faults, and tells whether a promise broke.", &demoCommand{}},
		{"bench", "measure the product on stand-ins", "Measures load figures, latency or memory on stand-ins in one process, beside a pass-through proxy.", &benchCommand{}},
		{"standin", "run a stand-in for trials", "Runs a stand-in of the platform or of one backend server.", &standinCommand{}},
	}
}
