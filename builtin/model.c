#include <stdio.h>
#include <time.h>

#include "builtin/builtin.h"
#include "builtin/options.h"
#include "model/model.h"

static const char usage[] = "briargrade model [--json] FILE";

static double cpu_time_s(void)
{
	return clock() / (double)CLOCKS_PER_SEC;
}

static void add_class_result(struct model_class_result *to,
			     const struct model_class_result *from)
{
	to->asked += from->asked;
	to->in_target += from->in_target;
	to->late += from->late;
	to->refused += from->refused;
	to->failed += from->failed;
	g_array_append_vals(to->latencies_ms, from->latencies_ms->data,
			    from->latencies_ms->len);
}

/* Run a policy with every seed. sum gets the total of the results. */
static void run_policy(const struct experiment *e, const struct model_policy *p,
		       struct model_result *sum)
{
	uint32_t s, i;

	model_run(e, p, e->seeds[0], sum);
	for (s = 1; s < e->n_seeds; s++) {
		struct model_result seed_result;

		model_run(e, p, e->seeds[s], &seed_result);
		for (i = 0; i < e->n_classes; i++)
			add_class_result(&sum->classes[i],
					 &seed_result.classes[i]);
		sum->work_ms += seed_result.work_ms;
		sum->wasted_ms += seed_result.wasted_ms;
		sum->offers += seed_result.offers;
		sum->events += seed_result.events;
		model_result_finish(&seed_result);
	}
}

static double ratio(uint64_t part, uint64_t whole)
{
	return whole ? part / (double)whole : 0;
}

static void print_class(const char *policy, const char *name,
			struct model_class_result *t)
{
	printf("%-16s %-20s %9" G_GUINT64_FORMAT
	       "  %.3f  %.3f  %.3f  %.3f %8.1f %8.1f\n",
	       policy, name, (guint64)t->asked, ratio(t->in_target, t->asked),
	       ratio(t->late, t->asked), ratio(t->refused, t->asked),
	       ratio(t->failed, t->asked), model_quantile(t, 0.5),
	       model_quantile(t, 0.99));
}

static json_t *class_json(const char *name, struct model_class_result *t)
{
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:f,s:f}", "class", name,
			 "asked", (json_int_t)t->asked, "in_target",
			 (json_int_t)t->in_target, "late", (json_int_t)t->late,
			 "refused", (json_int_t)t->refused, "failed",
			 (json_int_t)t->failed, "p50_ms",
			 model_quantile(t, 0.5), "p99_ms",
			 model_quantile(t, 0.99));
}

static void print_text(const struct experiment *e, const struct model_policy *p,
		       struct model_result *r, double cpu)
{
	uint64_t asked = 0;
	uint32_t i;

	for (i = 0; i < e->n_classes; i++) {
		print_class(p->name, e->classes[i].name, &r->classes[i]);
		asked += r->classes[i].asked;
	}
	printf("%-16s earned %.3f, served %.3f, wasted %.3f of the work, "
	       "%.2f offers a request\n",
	       p->name, model_earned(e, r), model_served(e, r),
	       r->work_ms > 0 ? r->wasted_ms / r->work_ms : 0,
	       ratio(r->offers, asked));
	/* On standard error, since it differs between runs of one seed. */
	fprintf(stderr, "%s: %.0f requests a second of processor time\n",
		p->name, asked / MAX(cpu, 1e-6));
}

static json_t *policy_json(const struct experiment *e,
			   const struct model_policy *p, struct model_result *r)
{
	json_t *classes = json_array();
	uint32_t i;

	for (i = 0; i < e->n_classes; i++)
		json_array_append_new(classes, class_json(e->classes[i].name,
							  &r->classes[i]));
	return json_pack("{s:s,s:o,s:f,s:f,s:f,s:f,s:I}", "policy", p->name,
			 "classes", classes, "earned", model_earned(e, r),
			 "served", model_served(e, r), "work_ms", r->work_ms,
			 "wasted_ms", r->wasted_ms, "offers",
			 (json_int_t)r->offers);
}

static void run_policies(const struct experiment *e, bool json)
{
	json_t *all = json_array();
	uint32_t i;

	if (!json)
		printf("%-16s %-20s %9s  %5s  %5s  %5s  %5s %8s %8s\n",
		       "policy", "class", "asked", "in", "late", "ref", "fail",
		       "p50_ms", "p99_ms");
	for (i = 0; i < e->n_policies; i++) {
		struct model_result r;
		double before = cpu_time_s();

		run_policy(e, &e->policies[i], &r);
		if (json)
			json_array_append_new(
				all, policy_json(e, &e->policies[i], &r));
		else
			print_text(e, &e->policies[i], &r,
				   cpu_time_s() - before);
		model_result_finish(&r);
	}
	if (json)
		json_dumpf(all, stdout, JSON_INDENT(1));
	json_decref(all);
}

/* Simulate which requests a fleet serves under a load, for each policy. */
int cmd_model(int argc, char **argv)
{
	struct options o;
	struct experiment *e;
	GString *errors;
	int err;
	int status = options_read(&o, argc, argv, OPTION_JSON, usage);

	if (status >= 0)
		return status;
	if (o.n_args != 1)
		return options_usage(usage);
	errors = g_string_new(NULL);
	e = g_new0(struct experiment, 1);
	err = experiment_read(e, o.args[0], errors);
	fputs(errors->str, stderr);
	if (!err)
		run_policies(e, o.json);
	g_free(e);
	g_string_free(errors, TRUE);
	return err ? EXIT_USAGE : EXIT_OK;
}
