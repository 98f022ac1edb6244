#include <string.h>
#include <sys/stat.h>

#include "node/node.h"
#include "util/event.h"

/*
 * Reloads the settings on SIGHUP, or when their file has changed. Applies only
 * the settings that can change while the process runs; addresses stay as they
 * are, so that no request in progress is cut off.
 */

/* How often to check whether the file has changed without a SIGHUP. */
#define CHECK_INTERVAL_MS 2000

/* When the settings file was last modified; 0 if that cannot be read. */
static int64_t read_mtime_ns(const struct node *n)
{
	struct stat st;

	if (stat(n->settings.path, &st))
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

static void apply_reloadable(struct settings *s, const struct settings *new)
{
	memcpy(s->seeds, new->seeds, sizeof(s->seeds));
	s->n_seeds = new->n_seeds;
	s->hold_share = new->hold_share;
	s->retry_share = new->retry_share;
	s->retry_reserve = new->retry_reserve;
	s->hedge = new->hedge;
	s->hold_max_ms = new->hold_max_ms;
	s->stop_limit_ms = new->stop_limit_ms;
	s->kept_idle_s = new->kept_idle_s;
}

void node_reload(struct node *n)
{
	struct settings *new = g_new0(struct settings, 1);
	GString *errors = g_string_new(NULL);

	n->settings_mtime_ns = read_mtime_ns(n);
	if (settings_read(new, n->settings.path, errors)) {
		g_warning("settings not reloaded: %s", errors->str);
	} else {
		apply_reloadable(&n->settings, new);
		EVENT(reloaded, NULL, "\"seeds\":%u", n->settings.n_seeds);
		g_info("settings reloaded, %u seeds", n->settings.n_seeds);
	}
	g_string_free(errors, TRUE);
	g_free(new);
}

void reload_tick(struct node *n, int64_t now_ms)
{
	if (now_ms < n->next_settings_check_at_ms)
		return;
	n->next_settings_check_at_ms = now_ms + CHECK_INTERVAL_MS;
	if (!n->settings_mtime_ns)
		n->settings_mtime_ns = read_mtime_ns(n);
	else if (read_mtime_ns(n) != n->settings_mtime_ns)
		node_reload(n);
}
