#include <stdio.h>
#include <curl/curl.h>

#include "builtin/builtin.h"
#include "builtin/options.h"
#include "node/node.h"
#include "util/event.h"
#include "util/log.h"
#include "util/result.h"

static const char usage[] = "briargrade run --settings FILE";

static int run(const struct settings *s)
{
	struct node *node = g_new0(struct node, 1);
	GString *errors = g_string_new(NULL);
	int err;

	err = node_init(node, s, ev_default_loop(0), errors);
	if (err) {
		fprintf(stderr, "briargrade: %s", errors->str);
		return EXIT_FAILED;
	}
	EVENT(started, NULL,
	      "\"data_centre\":\"%s\",\"service\":\"%s\",\"interface\":\"%s\"",
	      event_text(s->data_centre), event_text(s->service),
	      s->interface == INTERFACE_OWN ? "own" : "platform");
	g_info("running in data centre %s for service %s", s->data_centre,
	       s->service);
	node_run(node);
	node_finish(node);
	g_string_free(errors, TRUE);
	g_free(node);
	return EXIT_OK;
}

/* Run a node beside its backend server until a signal stops it. */
int cmd_run(int argc, char **argv)
{
	struct settings settings;
	GString *errors;
	struct options o;
	int status = options_read(&o, argc, argv, OPTION_SETTINGS, usage);

	if (status >= 0)
		return status;
	if (!o.settings || o.n_args)
		return options_usage(usage);
	errors = g_string_new(NULL);
	if (settings_read(&settings, o.settings, errors)) {
		fputs(errors->str, stderr);
		g_string_free(errors, TRUE);
		return EXIT_USAGE;
	}
	g_string_free(errors, TRUE);
	log_setup(settings.log_level, settings.log_json, settings.host);
	curl_global_init(CURL_GLOBAL_ALL);
	status = run(&settings);
	curl_global_cleanup();
	return status;
}
