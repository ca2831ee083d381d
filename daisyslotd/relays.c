/*
 * The relays task: connects to the relays of the data centre.
 *
 * A slot first connects to an entry from the seeds in its settings and receives the
 * host list from it.  From then on it keeps a connection to each relay of its data
 * centre.  It applies only what is newer than what it has, since a relay may lag behind
 * or have been frozen.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "daisyslotd.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "policy/backoff.h"
#include "policy/loader.h"
#include "status.h"

#define MAINTAIN_INTERVAL_MS   250
#define STATUS_INTERVAL_MIN_MS 250  /* shortest time between two status messages */
#define STATUS_INTERVAL_MAX_MS 2000 /* longest time between two status messages */
#define BACKOFF_MIN_MS         250
#define BACKOFF_MAX_MS         2000
#define SEED_DELAY_MS          3000 /* without contact for so long, try a seed again */
#define DRAIN_CHECK_MS         100
#define LINKS_MAX              (DL_RELAYS + 1) /* the relays and one seed */

static const DlBackoffBounds backoff_bounds
    = { .first_ms = BACKOFF_MIN_MS, .max_ms = BACKOFF_MAX_MS };

/* A connection to one address, opened again after it closes. */
typedef struct
{
  char *address;
  DlConn *conn;
  bool selected;          /* to be kept; others are closed once a selected one is open */
  uint64_t connect_at_ms; /* not before */
  uint64_t backoff_ms;
  /* Target list last received on the connection. */
  uint64_t targets_hash; /* 0: none */
  char **targets;        /* talloc array and texts */
  size_t target_count;
} Link;

typedef struct
{
  DlTask *task;
  const SlotSettings *settings;
  Link links[LINKS_MAX];
  size_t next_seed;
  const DlMembers *members;
  uint64_t fleet_revision;
  SlotDirective *directive;
  SlotFacts facts;
  bool in_contact;
  uint64_t contact_since_ms;
  bool status_due;
  uint64_t status_sent_ms;
  uint64_t maintained_ms;
  DlTimer *maintain_timer;
  DlTimer *drain_timer;
} Relays;

static void maintain_links (Relays *r);

/* -------- messages from relays -------- */

static Link *
find_link (Relays *r, const DlConn *conn)
{
  for (size_t i = 0; i < LINKS_MAX; i++)
    if (r->links[i].conn == conn)
      return &r->links[i];
  return NULL;
}

static void
publish_contact (Relays *r)
{
  SlotMessage *m = dl_message_new (SLOT_MSG_CONTACT, sizeof *m);

  m->contact.in_contact = r->in_contact;
  m->contact.since_ms = r->contact_since_ms;
  dl_kernel_publish (dl_task_kernel (r->task), m);
}

static void
update_contact (Relays *r)
{
  bool in_contact = false;

  for (size_t i = 0; i < LINKS_MAX; i++)
    if (r->links[i].conn != NULL && dl_conn_is_open (r->links[i].conn))
      in_contact = true;
  if (in_contact == r->in_contact)
    return;
  r->in_contact = in_contact;
  r->contact_since_ms = dl_clock_ms ();
  publish_contact (r);
}

static void
apply_members (Relays *r, const Daisyloft__Wire__Members *wire)
{
  SlotMessage *m;
  DlMembers *members;

  if (r->members != NULL && wire->revision <= r->members->revision)
    return;
  m = dl_message_new (SLOT_MSG_MEMBERS, sizeof *m);
  if (dl_members_from_wire (m, wire, &members) < 0)
    {
      dl_log (DL_EVENT_SLOT_MEMBERS_INVALID);
      dl_message_unref (m);
      return;
    }
  talloc_unlink (r, (void *)r->members);
  r->members = talloc_reference (r, members);
  m->members.members = members;
  dl_kernel_publish (dl_task_kernel (r->task), m);
  maintain_links (r);
}

static void
apply_fleet (Relays *r, uint64_t revision, DlStr text)
{
  SlotMessage *m;
  DlFleet *fleet;
  char *error = NULL;

  if (revision <= r->fleet_revision)
    return;
  m = dl_message_new (SLOT_MSG_FLEET, sizeof *m);
  if (dl_fleet_parse (m, "relay", text, &fleet, &error) < 0)
    {
      dl_log (DL_EVENT_SLOT_FLEET_INVALID, DL_UINT ("revision", revision),
              DL_TEXT ("reason", error));
      dl_message_unref (m);
      return;
    }
  r->fleet_revision = revision;
  dl_log (DL_EVENT_SLOT_FLEET_APPLIED, DL_UINT ("revision", revision));
  m->fleet.revision = revision;
  m->fleet.fleet = fleet;
  dl_kernel_publish (dl_task_kernel (r->task), m);
}

static void
copy_targets (const void *context, SlotDirective *d, char *const *targets, size_t count)
{
  d->target_count = count;
  d->targets = talloc_array (context, char *, MAX (count, 1));
  for (size_t i = 0; i < count; i++)
    d->targets[i] = talloc_strdup (d->targets, targets[i]);
}

/* Stores the target list: later directives on the connection leave it out until it
 * changes.  Returns 0, or DL_ERR_MALFORMED if a directive leaves out a list other than
 * the stored one. */
static int
link_update_targets (Link *link, const Daisyloft__Wire__Directive *wire)
{
  SlotDirective list = { 0 };

  if (wire->n_targets == 0)
    return wire->targets_hash == 0 || wire->targets_hash == link->targets_hash
               ? 0
               : DL_ERR_MALFORMED;
  talloc_free (link->targets);
  copy_targets (link->address, &list, wire->targets, wire->n_targets);
  link->targets = list.targets;
  link->target_count = list.target_count;
  link->targets_hash = wire->targets_hash;
  return 0;
}

static SlotDirective *
directive_from_wire (const void *context,
                     const Link *link,
                     const Daisyloft__Wire__Directive *wire)
{
  SlotDirective *d = talloc_zero (context, SlotDirective);

  g_assert (d != NULL);
  if (dl_digest_from_bytes (DL_BYTES_STR (wire->version), &d->version) < 0)
    {
      talloc_free (d);
      return NULL;
    }
  d->rollout = talloc_strdup (d, wire->rollout);
  d->sequence = wire->sequence;
  d->revision = wire->revision;
  d->fence = wire->fence;
  d->state = wire->state;
  d->manifest_bytes = wire->manifest_bytes;
  d->may_load = wire->may_load;
  d->granted = wire->granted || wire->may_load;
  d->weigh_origin_bytes = wire->weigh_origin_bytes;
  d->home_region = talloc_strdup (d, wire->home_region);
  if (wire->targets_hash != 0)
    copy_targets (d, d, link->targets, link->target_count);
  return d;
}

static bool
has_ended (const SlotDirective *d)
{
  return d->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_CALLED_OFF
         || d->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_REPLACED
         || d->state == DAISYLOFT__WIRE__ROLLOUT_STATE__ROLLOUT_FAILED;
}

/*
 * Returns true if the received directive supersedes the current one.  The rollout created
 * later takes precedence until it has ended; after that an older rollout may take effect
 * again with a higher revision.  Within one rollout the higher revision takes precedence,
 * but its fence may not be lower.  This rejects directives from a relay that lags behind,
 * and from a lease holder that resumes after it has lost its lease.
 */
static bool
directive_is_newer (const Relays *r, const Daisyloft__Wire__Directive *wire)
{
  const SlotDirective *d = r->directive;

  if (d == NULL || wire->sequence > d->sequence)
    return true;
  if (wire->revision <= d->revision)
    return false;
  if (wire->sequence < d->sequence)
    return has_ended (d);
  return wire->fence >= d->fence;
}

static void
apply_directive (Relays *r, Link *link, const Daisyloft__Wire__Directive *wire)
{
  SlotMessage *m;
  SlotDirective *directive;

  if (link == NULL || link_update_targets (link, wire) < 0)
    return;
  if (*wire->rollout == '\0')
    return; /* no rollout for this host; the current directive stays in effect */
  if (!directive_is_newer (r, wire))
    {
      if (wire->revision < r->directive->revision)
        dl_log (DL_EVENT_SLOT_DIRECTIVE_REFUSED, DL_TEXT ("rollout", wire->rollout),
                DL_UINT ("revision", wire->revision), DL_UINT ("fence", wire->fence));
      return;
    }
  m = dl_message_new (SLOT_MSG_DIRECTIVE, sizeof *m);
  directive = directive_from_wire (m, link, wire);
  if (directive == NULL)
    {
      dl_message_unref (m);
      return;
    }
  talloc_unlink (r, r->directive);
  r->directive = talloc_reference (r, directive);
  r->facts.directive = directive;
  r->status_due = true;
  dl_log (DL_EVENT_SLOT_DIRECTIVE_TAKEN, DL_TEXT ("rollout", directive->rollout),
          DL_UINT ("revision", directive->revision), DL_INT ("state", directive->state),
          DL_INT ("may_load", directive->may_load));
  m->directive.directive = directive;
  dl_kernel_publish (dl_task_kernel (r->task), m);
}

static void
on_relay_frame (DlConn *conn, const DlEnvelope *envelope, DlStr payload, void *data)
{
  Relays *r = data;

  switch (envelope->body_case)
    {
    case DAISYLOFT__WIRE__ENVELOPE__BODY_MEMBERS:
      apply_members (r, envelope->members);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_FLEET_SETTINGS:
      apply_fleet (r, envelope->fleet_settings->revision, payload);
      break;
    case DAISYLOFT__WIRE__ENVELOPE__BODY_DIRECTIVE:
      apply_directive (r, find_link (r, conn), envelope->directive);
      break;
    default:
      break; /* from a later version of the protocol */
    }
}

/* -------- status -------- */

static void
send_status (Relays *r, DlConn *conn, Daisyloft__Wire__SlotStatus *status)
{
  DlEnvelope envelope = DL_ENVELOPE (SLOT_STATUS, slot_status, status);

  dl_conn_send (conn, &envelope, dl_str_bytes (NULL, 0));
}

static void
report_status (Relays *r)
{
  SlotMessage *m = dl_message_new (SLOT_MSG_STATUS, sizeof *m);
  Daisyloft__Wire__SlotStatus *status = slot_facts_status (&r->facts, m);

  r->status_due = false;
  r->status_sent_ms = dl_clock_ms ();
  for (size_t i = 0; i < LINKS_MAX; i++)
    if (r->links[i].conn != NULL && dl_conn_is_open (r->links[i].conn))
      send_status (r, r->links[i].conn, status);
  m->status.status = status;
  dl_kernel_publish (dl_task_kernel (r->task), m);
}

static void
report_status_when_due (Relays *r)
{
  uint64_t passed = dl_clock_ms () - r->status_sent_ms;

  if (passed >= STATUS_INTERVAL_MAX_MS
      || (r->status_due && passed >= STATUS_INTERVAL_MIN_MS))
    report_status (r);
}

/* -------- links -------- */

static void
on_relay_open (DlConn *conn, void *data)
{
  Relays *r = data;
  Link *link = find_link (r, conn);
  Daisyloft__Wire__SlotStatus *status = slot_facts_status (&r->facts, r);

  dl_log (DL_EVENT_SLOT_RELAY_CONNECTED, DL_TEXT ("relay", dl_conn_peer (conn)->name));
  if (link != NULL)
    link->backoff_ms = BACKOFF_MIN_MS;
  send_status (r, conn, status);
  talloc_free (status);
  update_contact (r);
}

static void
on_relay_closed (DlConn *conn, int error, void *data)
{
  Relays *r = data;
  Link *link = find_link (r, conn);
  const char *name = dl_conn_peer (conn)->name;

  if (name != NULL)
    dl_log (DL_EVENT_SLOT_RELAY_LOST, DL_TEXT ("relay", name), DL_ERRNO (error));
  if (link != NULL)
    {
      uint64_t jitter = dl_random_uint64 () % BACKOFF_MIN_MS;

      link->conn = NULL;
      link->targets_hash = 0;
      link->connect_at_ms = dl_clock_ms () + link->backoff_ms + jitter;
      link->backoff_ms = dl_backoff_next_ms (link->backoff_ms, &backoff_bounds);
    }
  talloc_free (conn);
  update_contact (r);
}

static const DlConnHandler relay_handler = {
  .on_open = on_relay_open,
  .on_frame = on_relay_frame,
  .on_closed = on_relay_closed,
};

static void
link_connect (Relays *r, Link *link)
{
  link->conn
      = dl_conn_connect (r->task, r, dl_str (link->address), slot_identity (r->task),
                         DAISYLOFT__WIRE__PURPOSE__PURPOSE_RELAY, &relay_handler, r);
}

static void
link_drop (Link *link)
{
  talloc_free (link->conn);
  talloc_free (link->address);
  *link = (Link){ 0 };
}

/* Selects the link to ADDRESS, and adds it if there is none. */
static void
select_link (Relays *r, const char *address)
{
  for (size_t i = 0; i < LINKS_MAX; i++)
    if (r->links[i].address != NULL && strcmp (r->links[i].address, address) == 0)
      {
        r->links[i].selected = true;
        return;
      }
  for (size_t i = 0; i < LINKS_MAX; i++)
    if (r->links[i].address == NULL)
      {
        r->links[i] = (Link){
          .address = talloc_strdup (r, address),
          .selected = true,
          .backoff_ms = BACKOFF_MIN_MS,
        };
        return;
      }
}

static bool
selected_link_is_open (const Relays *r)
{
  for (size_t i = 0; i < LINKS_MAX; i++)
    if (r->links[i].selected && r->links[i].conn != NULL
        && dl_conn_is_open (r->links[i].conn))
      return true;
  return false;
}

/* Selects a seed while no host list is known, or when no relay has been connected for
 * SEED_DELAY_MS.  The seeds are tried in turn. */
static void
select_seed (Relays *r)
{
  const char **seeds = r->settings->seeds.items;
  Link *seed = &r->links[LINKS_MAX - 1];

  if (selected_link_is_open (r))
    return;
  if (r->members != NULL && dl_clock_ms () - r->contact_since_ms < SEED_DELAY_MS)
    return;
  if (seed->address != NULL && seed->conn != NULL)
    {
      seed->selected = true;
      return;
    }
  if (seed->address != NULL && dl_clock_ms () < seed->connect_at_ms)
    {
      seed->selected = true;
      return;
    }
  if (seed->address != NULL)
    link_drop (seed);
  *seed = (Link){
    .address = talloc_strdup (r, seeds[r->next_seed++ % r->settings->seeds.count]),
    .selected = true,
    .backoff_ms = BACKOFF_MIN_MS,
  };
}

static void
maintain_links (Relays *r)
{
  const DlMember *relays[DL_RELAYS];
  uint64_t now = dl_clock_ms ();
  size_t count = 0;

  for (size_t i = 0; i < LINKS_MAX; i++)
    r->links[i].selected = false;
  if (r->members != NULL)
    count = dl_members_relays (r->members, r->settings->region, r->settings->data_center,
                               relays);
  for (size_t i = 0; i < count; i++)
    select_link (r, relays[i]->address);
  select_seed (r);
  for (size_t i = 0; i < LINKS_MAX; i++)
    {
      Link *link = &r->links[i];

      /* A link no longer selected is kept until a selected one is open. */
      if (link->address != NULL && !link->selected && selected_link_is_open (r))
        link_drop (link);
      else if (link->selected && link->conn == NULL && now >= link->connect_at_ms)
        link_connect (r, link);
    }
  update_contact (r);
}

/* Closes all links after the process was paused, since the state received before may be
 * out of date.  A new contact begins, and each relay sends the state in effect again. */
static void
drop_links_after_pause (Relays *r)
{
  uint64_t now = dl_clock_ms ();

  if (r->maintained_ms > 0 && now - r->maintained_ms > DL_LOADER_PAUSE_MS)
    {
      for (size_t i = 0; i < LINKS_MAX; i++)
        if (r->links[i].address != NULL)
          link_drop (&r->links[i]);
      update_contact (r);
    }
  r->maintained_ms = now;
}

static void
on_maintain (DlTimer *timer, void *data)
{
  Relays *r = data;

  drop_links_after_pause (r);
  maintain_links (r);
  report_status_when_due (r);
}

/* -------- the task -------- */

static int
relays_start (DlTask *task)
{
  Relays *r = talloc_zero (NULL, Relays);

  g_assert (r != NULL);
  dl_task_set_state (task, r);
  r->task = task;
  r->settings = slot_settings (task);
  r->contact_since_ms = dl_clock_ms ();
  r->next_seed = dl_random_uint64 () % r->settings->seeds.count;
  r->facts.settings = r->settings;
  r->facts.incarnation = dl_kernel_incarnation (dl_task_kernel (task));
  r->maintain_timer
      = dl_timer_subscribe (task, r, 0, MAINTAIN_INTERVAL_MS, on_maintain, r);
  return 0;
}

static void
relays_handle (DlTask *task, const DlMessage *message)
{
  Relays *r = dl_task_state (task);

  slot_facts_update (&r->facts, r, (const SlotMessage *)message);
  r->status_due = true;
}

static void
on_drain_check (DlTimer *timer, void *data)
{
  Relays *r = data;

  if (r->facts.requests_running == 0)
    dl_task_drained (r->task);
}

/* Reports at once that the slot is leaving; the platform's list will show it later. */
static void
relays_drain (DlTask *task)
{
  Relays *r = dl_task_state (task);

  r->facts.leaving = true;
  report_status (r);
  r->drain_timer
      = dl_timer_subscribe (task, r, DRAIN_CHECK_MS, DRAIN_CHECK_MS, on_drain_check, r);
}

static json_object *
relays_dump (DlTask *task)
{
  Relays *r = dl_task_state (task);
  json_object *dump = json_object_new_object ();
  json_object *links = json_object_new_array ();

  for (size_t i = 0; i < LINKS_MAX; i++)
    if (r->links[i].address != NULL)
      {
        json_object *link = json_object_new_object ();
        bool open = r->links[i].conn != NULL && dl_conn_is_open (r->links[i].conn);

        json_object_object_add (link, "address",
                                json_object_new_string (r->links[i].address));
        json_object_object_add (link, "open", json_object_new_boolean (open));
        json_object_array_add (links, link);
      }
  json_object_object_add (dump, "links", links);
  json_object_object_add (dump, "in_contact", json_object_new_boolean (r->in_contact));
  json_object_object_add (dump, "members",
                          json_object_new_uint64 (r->members != NULL ? r->members->count
                                                                     : 0));
  json_object_object_add (dump, "fleet_revision",
                          json_object_new_uint64 (r->fleet_revision));
  if (r->directive != NULL)
    {
      json_object_object_add (dump, "rollout",
                              json_object_new_string (r->directive->rollout));
      json_object_object_add (dump, "directive_revision",
                              json_object_new_uint64 (r->directive->revision));
    }
  return dump;
}

static DlPlugin relays_plugin = {
  .name = "relays",
  .order = 20,
  .subscriptions = SLOT_SUBSCRIBE (SLOT_MSG_TRANSFER) | SLOT_SUBSCRIBE (SLOT_MSG_ENGINE)
                   | SLOT_SUBSCRIBE (SLOT_MSG_LOAD) | SLOT_SUBSCRIBE (SLOT_MSG_ROTATION)
                   | SLOT_SUBSCRIBE (SLOT_MSG_FLEET),
  .start = relays_start,
  .handle = relays_handle,
  .drain = relays_drain,
  .dump = relays_dump,
};
DL_PLUGIN_REGISTER (relays_plugin)
