#include "answers.h"

#include <glib.h>
#include <string.h>

#include "endless.h"

/* Stand in what answers to other requests say, and in no answer of a caller's own. */
static const char *const foreign_texts[] = { "else", "another" };

static void
set_servers (Testbed *tb, const EndlessAnswer *answer)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      Proxy *p = g_ptr_array_index (tb->proxies, PROXY_SERVERS + i);

      endless_peer_set (proxy_endless_peer (p), answer);
      proxy_set_mode (p, answer != NULL ? PROXY_ENDLESS : PROXY_PASS);
    }
}

static bool
has_own_body (const AnswerCase *c, const Response *r)
{
  return strcmp (c->target, ANSWER_STREAMED) == 0 ? has_events (r->body, 1, 10)
                                                  : strcmp (r->body, "done") == 0;
}

static void
check_response (const AnswerCase *c, const Response *r)
{
  g_autofree char *text = g_strdup_printf ("%s (%s): status %d, body \"%s\"", c->name,
                                           c->target, r->status, r->body);

  check (r->status == c->status, text, c->name, __LINE__);
  for (size_t i = 0; i < G_N_ELEMENTS (foreign_texts); i++)
    check (strstr (r->body, foreign_texts[i]) == NULL, text, c->name, __LINE__);
  if (c->status == 200)
    check (r->complete && has_own_body (c, r), text, c->name, __LINE__);
}

void
answer_case_play (Testbed *tb, const AnswerCase *c)
{
  static unsigned n;
  g_autofree char *id = g_strdup_printf ("answer-%u", ++n);
  int left = 1;
  Call options = default_call (tb, c->target, id);
  Response r;

  /* A request that is sent again and again as it breaks connections would be refused. */
  options.body = strcmp (c->target, ANSWER_UNSAFE) == 0 ? id : NULL;
  set_servers (tb, &(EndlessAnswer){ .head = c->bytes,
                                     .reset = c->reset,
                                     .path = c->target,
                                     .left = &left });
  r = call (&options);
  check (left <= 0, "a server answered so", c->name, __LINE__);
  check_response (c, &r);
  set_servers (tb, NULL);
  CHECK (eventually (requests_are_served, tb));
  response_free (&r);
}
