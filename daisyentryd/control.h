/*
 * What the tasks replica, members, relay and steer share beside daisyentryd.h.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "daisyentryd.h"
#include "policy/rollout.h"

/* Message types of these tasks alone; those of EntryMessageType are below. */
typedef enum
{
  CONTROL_PEER_FLEET = 32,
  CONTROL_PEER_MEMBERS,
  CONTROL_PEER_OBJECTS,
  CONTROL_PEER_FRESHNESS,
  CONTROL_LINKS,
  CONTROL_STORE,
} ControlMessageType;

typedef struct
{
  DlMessage base;
  union
  {
    /* PEER_FLEET: settings as a peer has them. */
    struct
    {
      uint64_t revision;
      char *text; /* talloc child of the message */
    } fleet;
    /* PEER_MEMBERS: the host list as a peer has it. */
    struct
    {
      DlMembers *members; /* talloc child of the message */
    } members;
    /* PEER_OBJECTS: changes after AFTER up to REVISION; all objects when AFTER is 0. */
    struct
    {
      uint64_t after;
      uint64_t revision;
      char *text; /* JSON list; talloc child of the message */
    } objects;
    /* PEER_FRESHNESS: a word of a peer. */
    struct
    {
      uint64_t store_age_ms; /* UINT64_MAX: never in touch */
    } freshness;
    /* LINKS: how many connections to relays are open. */
    struct
    {
      size_t open;
    } links;
    /* STORE: whether the platform answers this entry itself. */
    struct
    {
      bool direct;
    } store;
  };
} ControlMessage;

ControlMessage *control_message_new (ControlMessageType type);

/* Whether this entry reads from the platform itself: it relays for a data centre, or
 * hears no relay that would tell it. */
bool control_reads_platform (DlTask *task, const DlMembers *members, size_t open_links);
/* Whether the entry NAME is a relay of the data centre. */
bool control_is_relay_of (const DlMembers *members,
                          const char *name,
                          const char *region,
                          const char *data_center);
/* The distinct data centres of the list; region and data centre of the first member. */
typedef struct
{
  const char *region;
  const char *data_center;
} ControlDataCenter;
ControlDataCenter *
control_data_centers (const void *context, const DlMembers *members, size_t *count);

#endif
