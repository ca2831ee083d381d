/*
 * Messages and helpers that the tasks replica, members, relay and steer share, in
 * addition to daisyentryd.h.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "daisyentryd.h"
#include "policy/rollout.h"

/* Types of the messages between these tasks only.  They start above the values of
 * EntryMessageType. */
typedef enum
{
  CONTROL_PEER_FLEET = 32,
  CONTROL_PEER_MEMBERS,
  CONTROL_PEER_OBJECTS,
  CONTROL_PEER_FRESHNESS,
  CONTROL_LINKS,
  CONTROL_STORE,
} ControlMessageType;

/* A message between these tasks; the type selects the member. */
typedef struct
{
  DlMessage base;
  union
  {
    /* PEER_FLEET: the fleet settings that a peer sent. */
    struct
    {
      uint64_t revision;
      char *text; /* talloc child of the message */
    } fleet;
    /* PEER_MEMBERS: the host list that a peer sent. */
    struct
    {
      DlMembers *members; /* talloc child of the message */
    } members;
    /* PEER_OBJECTS: the objects changed after revision AFTER, up to REVISION; all objects
     * when AFTER is 0. */
    struct
    {
      uint64_t after;
      uint64_t revision;
      char *text; /* JSON list; talloc child of the message */
    } objects;
    /* PEER_FRESHNESS: a peer's report of its contact with the platform. */
    struct
    {
      uint64_t store_age_ms; /* since its last contact; UINT64_MAX: never */
    } freshness;
    /* LINKS: number of open connections to relays. */
    struct
    {
      size_t open;
    } links;
    /* STORE: whether this entry itself gets responses from the platform. */
    struct
    {
      bool direct;
    } store;
  };
} ControlMessage;

/* Allocates a zeroed message of TYPE. */
ControlMessage *control_message_new (ControlMessageType type);

/* Returns true when this entry must read from the platform itself: it is a relay of some
 * data centre, knows no members, or has no open connection to a relay. */
bool control_reads_platform (DlTask *task, const DlMembers *members, size_t open_links);
/* Returns true when the entry NAME is a relay of the data centre. */
bool control_is_relay_of (const DlMembers *members,
                          const char *name,
                          const char *region,
                          const char *data_center);
/* A data centre and its region.  Texts are borrowed from the host list. */
typedef struct
{
  const char *region;
  const char *data_center;
} ControlDataCenter;

/* Returns the distinct data centres of MEMBERS, each with the region of its first member,
 * in an array that is a talloc child of CONTEXT; stores their number in COUNT. */
ControlDataCenter *
control_data_centers (const void *context, const DlMembers *members, size_t *count);

#endif
